"""The base of every error that is linkdock's own, and how one is told to an operator.

A code is `LD-AREA` or `LD-AREA-CASE`, in capitals: AREA is the part that raises it, CASE tells two errors of one part
apart. A code is stable: it is searched for in logs and in docs/operate/errors.md, is never given to another error, and
stays when the class is renamed or moved. LD-CLUSTER, LD-FAILOVER, LD-SHARD, LD-SCHEMA and LD-GATHER belong to the
packages of these names, whose classes stand there.

Danger: every start of a sender imports this module. It imports nothing.
"""


class LinkdockError(Exception):
    """What happened is the text of the instance; what its peer is told is that text alone, without code and remedy.

    Each subclass has `code`, `what` (in general, one line) and `remedy` (what an operator can do, one sentence without
    its full stop). Where callers catch a built-in error, the subclass has that as its second base.
    """

    code = "LD"
    what = "an error of linkdock's own"
    remedy = "Report it with the log around it"

    def __str__(self) -> str:
        """What happened, or the kind of error where nothing more is known."""
        return super().__str__() or self.what


def log_line(error: BaseException) -> str:
    """One line for the log: `CODE: what happened; remedy`. Of an error that is not linkdock's own, its text alone."""
    if not isinstance(error, LinkdockError):
        return _line(error)
    return f"{error.code}: {_line(error)}; {error.remedy[:1].lower()}{error.remedy[1:]}"


def exit_line(error: BaseException) -> str:
    """One line for whoever gave a command: `what happened (CODE: remedy)`, so that it begins with what is wrong."""
    return f"{_line(error)} ({error.code}: {error.remedy})" if isinstance(error, LinkdockError) else _line(error)


def _line(error: BaseException) -> str:
    """Danger: a path or a parser's text may hold line ends, and a line of the log is one event."""
    return " ".join(str(error).splitlines())
