"""Set-up of logging: where log lines are written, and in which format."""

from __future__ import annotations

from logging import INFO, getLogger

from carawaylane.telemetry.events import write_events_with
from carawaylane.telemetry.json_formatter import JsonFormatter
from carawaylane.telemetry.log_writer import StdoutHandler


def setup_logging(*, as_json: bool, verbosity: str) -> None:
    """Write log lines to standard error, as text or as JSON."""
    # Nodes that log to standard output start without this library.
    from absl import logging
    from absl.flags import FLAGS

    # absl requires that its flags are parsed, but a node defines none: its
    # options are read by carawaylane.settings.
    FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold(verbosity)
    if as_json:
        logging.get_absl_handler().setFormatter(JsonFormatter())


def log_to_stdout() -> StdoutHandler:
    """Write log lines to standard output as JSON; return the handler."""
    handler = StdoutHandler()
    handler.setFormatter(JsonFormatter())
    root = getLogger()
    root.setLevel(INFO)
    root.handlers = [handler]
    write_events_with(handler.write_event)
    return handler


def dropped_lines() -> int:
    """Return how many lines were dropped because the reader was too slow."""
    return sum(
        handler.dropped
        for handler in getLogger().handlers
        if isinstance(handler, StdoutHandler)
    )
