# Functions that declare the libraries, tests and tools of a package in the
# layout include/primrosebridge/<Lib>/, lib/<Lib>/, unittests/<Lib>/, tools/.

set(PRIMROSEBRIDGE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)

# primrosebridge_library(<Lib> [DEPENDS <target>...])
# Builds every source below lib/<Lib>/ into the target Primrosebridge<Lib>.
function(primrosebridge_library lib)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/lib/${lib}/*.cpp)
  set(target Primrosebridge${lib})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_compile_options(${target} PRIVATE ${PRIMROSEBRIDGE_WARNINGS})
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# primrosebridge_test(<Lib> [DEPENDS <target>...])
# Builds every source below unittests/<Lib>/ into one Catch2 binary, one CTest test.
function(primrosebridge_test lib)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/unittests/${lib}/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(target ${lib}Tests)
  add_executable(${target} ${sources} ${PROJECT_SOURCE_DIR}/cmake/catchmain.cpp)
  target_compile_options(${target} PRIVATE ${PRIMROSEBRIDGE_WARNINGS} -Wno-shadow)
  target_compile_definitions(${target} PRIVATE
    PRIMROSEBRIDGE_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/unittests/${lib}/data"
    PRIMROSEBRIDGE_EXAMPLES="${PROJECT_SOURCE_DIR}/examples")
  target_link_libraries(${target} PRIVATE Primrosebridge${lib} Catch2::Catch2 rapidcheck ${ARG_DEPENDS})
  add_test(NAME ${lib}Tests COMMAND ${target})
  # RapidCheck takes its seed from the environment; a fixed one makes CI repeatable.
  set_tests_properties(${lib}Tests PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100")
endfunction()

# primrosebridge_tool(<name> [DEPENDS <target>...])
# Builds every source below tools/<name>/ into the executable <name>.
function(primrosebridge_tool name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tools/${name}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_compile_options(${name} PRIVATE ${PRIMROSEBRIDGE_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# primrosebridge_benchmark(<name> [DEPENDS <target>...])
# Builds every source below benchmarks/<name>/ into the executable <name>.
function(primrosebridge_benchmark name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/benchmarks/${name}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(${name} ${sources})
  target_compile_options(${name} PRIVATE ${PRIMROSEBRIDGE_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
