#include "primrosebridge/Model/shape.h"

namespace PrimroseBridge {

std::string_view adjacencyName(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::SameWorker:
        return "SameWorker";
    case Adjacency::SameRack:
        return "SameRack";
    case Adjacency::Nearest:
        return "Nearest";
    }
    return "SameWorker";
}

Result<Adjacency> adjacencyFromName(std::string_view name)
{
    for (const auto adjacency : {Adjacency::SameWorker, Adjacency::SameRack, Adjacency::Nearest}) {
        if (adjacencyName(adjacency) == name) {
            return adjacency;
        }
    }
    return Error(ErrorKind::InvalidArgument, "adjacency '" + std::string(name) + "' does not exist", "use SameWorker, SameRack or Nearest");
}

std::string describeShape(const Shape &shape)
{
    return std::to_string(shape.m_accelerators) + " accelerators " + std::string(adjacencyName(shape.m_adjacency)) + ", " + std::to_string(shape.m_cores)
           + " cores, " + std::to_string(shape.m_memoryMb) + " MB";
}

} // namespace PrimroseBridge
