"""The registry of all proofs by name, in the order of their definition."""

PROOFS = {}


class Proof:
    def __init__(self, name, function, short):
        self.name = name
        self.function = function
        self.short = short

    @property
    def purpose(self):
        return " ".join(self.function.__doc__.split())


def proof(short=False):
    """Registers a function as a proof. Proofs with @p short also run under --short."""

    def register(function):
        name = function.__name__.replace("_", "-")
        PROOFS[name] = Proof(name, function, short)
        return function

    return register
