"""Log records as lines of JSON."""

from __future__ import annotations

from logging import Formatter, LogRecord

from carawaylane.telemetry.log_writer import encode_row


class JsonFormatter(Formatter):
    """Formatter of log records as one JSON object per line."""

    def format(self, record: LogRecord) -> str:
        """Return the line of a record without its line break."""
        row = {
            'time': round(record.created, 4),
            'level': record.levelname,
            'event': getattr(record, 'event', 0),
            'name': getattr(record, 'event_name', ''),
            **getattr(record, 'fields', {}),
        }
        if not row['event']:
            row['message'] = record.getMessage()
        if record.exc_info:
            row['exception'] = self.formatException(record.exc_info)
        for name in ('left_out', 'dropped'):
            if getattr(record, name, 0):
                row[name] = getattr(record, name)
        return encode_row(row)
