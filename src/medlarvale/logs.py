"""Structured logs as numbered events; docs/EVENTS.md lists them."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any

import structlog


class Event(enum.Enum):
    """Numbered log events: (number, text). The thousands digit groups them by area."""

    HOST_STARTED = (1001, "entry host started")
    HOST_DRAINING = (1002, "entry host draining")
    HOST_STOPPED = (1003, "entry host stopped")
    SETTINGS_REFUSED = (1101, "process settings refused")
    HOST_READY = (1004, "entry host ready")
    LOG_LINES_DROPPED = (1005, "log lines dropped")
    TASK_FAILED = (1006, "unexpected error in a task, which goes on")
    FILE_RELOADED = (1102, "file reloaded")
    FILE_RELOAD_FAILED = (1103, "changed file could not be loaded")
    CONFIG_ACCEPTED = (2001, "configuration accepted")
    CONFIG_REJECTED = (2002, "configuration rejected")
    CONFIG_SOURCE_FAILED = (2003, "configuration source failed")
    CONFIG_SUBSCRIBER_FAILED = (2004, "configuration subscriber failed")
    CONFIG_DIVERGED = (2005, "peers run a configuration that this host rejected")
    HOST_LIST_ACCEPTED = (2101, "host list accepted")
    HOST_LIST_FAILED = (2102, "host list could not be read")
    STORE_LOST = (2201, "published state could not be read")
    STORE_REGAINED = (2202, "published state readable again")
    STORE_NOT_CONFIRMED = (2216, "list of servers could not be confirmed")
    SERVER_LEAVING = (2217, "backend server has said that it is leaving")
    SERVER_WAIT_BEGAN = (2218, "backend server asked for no requests for a time")
    SERVER_WAIT_ENDED = (2219, "backend server takes requests again after the time it asked for")
    SERVER_WAIT_INVALID = (2220, "time that a backend server asked for can't be used as it is")
    INSTANCE_GONE = (2221, "backend server is gone after an answer that its connection ended")
    PEER_TABLE_REFUSED = (2222, "configuration of a peer of an earlier build not accepted")
    KEY_LISTED_TWICE = (2223, "API key listed for two workspaces")
    CONFIG_UNCONFIRMED = (2224, "configuration no longer known to be recent")
    CONFIG_CONFIRMED = (2225, "configuration known to be recent again")
    CONFIG_BEHIND = (2226, "peers have a newer configuration than this host")
    WATCH_RESUMED = (2215, "watch of the published state resumed")
    STORE_ENTRY_UNUSABLE = (2203, "store entry invalid")
    STORE_READER_CHANGED = (2207, "host that reads the store for this one changed")
    STORE_RESTORED = (2208, "store has come back from an older copy")
    SERVER_LEARNED = (2204, "backend server listed")
    SERVER_CHANGED = (2205, "backend server changed")
    SERVER_REMOVED = (2206, "backend server no longer listed")
    SERVER_ENTRY_OUTDATED = (2209, "entry of a backend server is older than what is known")
    SERVER_HISTORY_READ = (2210, "earlier backend servers read from the store's history")
    SERVER_HISTORY_FAILED = (2211, "history of the store could not be read")
    SERVICE_UNREACHED = (2212, "servers of a service can't be reached from this host")
    SERVICE_REACHED = (2213, "servers of a service can be reached again")
    PEER_SERVER_UNUSABLE = (2214, "backend server of a peer can't be used")
    PEER_STATE_CHANGED = (3001, "peer state changed")
    PEER_FRAME_DROPPED = (3002, "peer frame dropped")
    PEER_HANDLER_FAILED = (3003, "peer message handler failed")
    PEER_STATE_FAILED = (3004, "published state could not be fetched from a peer")
    EVIDENCE_NOT_SHARED = (3005, "crash evidence could not be shared with a peer")
    STREAM_RECORD_FAILED = (3006, "peer did not answer about the version of streams")
    LEASE_GAINED = (4001, "booking lease gained")
    LEASE_LOST = (4002, "booking lease lost")
    BOOKING_OUTCOME_UNKNOWN = (4003, "booking outcome unknown")
    BOOKING_RECORDS_HANDED_OVER = (4004, "booking records handed over")
    REQUEST_REFUSED = (5001, "request refused")
    REQUEST_FAILED = (5002, "request failed")
    REQUEST_RESTARTED = (5003, "request restarted on another engine")
    REQUEST_FORWARDED = (5004, "request forwarded")
    ATTEMPT_FAILED = (5005, "attempt failed")
    CALLER_GONE = (5006, "caller disconnected")
    STREAM_ENDED = (5008, "stream ended")
    KEEPER_SOUGHT = (5009, "KV cache holder of a stream looked up")
    KEEPER_UNKNOWN = (5010, "cached prompts of an engine could not be fetched")
    FIGURES_IGNORED = (5011, "implausible engine figures of a peer ignored")
    STREAM_VERSION_SOUGHT = (5012, "software version that began a stream looked up")
    REQUEST_RELAYED = (5013, "request relayed to a peer")
    RELAY_FAILED = (5014, "peer did not answer a relayed request")
    BODY_DROPPED = (5015, "answer given up, because answers in progress take too much memory")
    STREAM_NOT_RECORDED = (5016, "no peer keeps the version of a stream")
    STREAM_VERSION_KNOWN = (5017, "version that began a stream known from a record")
    UPLOAD_DROPPED = (5040, "body of a caller given up, because bodies take too much memory")
    UPLOAD_STALLED = (5041, "body of a caller has stopped arriving")
    CONNECTIONS_CLOSED = (5042, "connections of callers closed, because there are too many")
    HEAD_REFUSED = (5043, "connection closed because of the head of a request")
    ANSWER_NOT_TAKEN = (5044, "connection closed, because its caller does not take an answer")
    MEMORY_REFUSED = (5060, "stream refused for lack of engine memory")
    QUOTA_EXCEEDED = (5030, "workspace over its quota")
    QUOTA_USE = (5031, "use of a quota that was exceeded")
    QUOTA_OWNER_SILENT = (5032, "host that grants a quota did not reply")
    QUOTA_DECIDED_LOCALLY = (5033, "quota decided by the share of this host")
    QUOTA_SCALED = (5034, "share of the quotas that this host grants changed")
    PROMPT_CACHE_MEASURED = (5050, "enough measurements of prompt caches")
    CLEANUP_FAILED = (5007, "unused engine memory could not be released")
    ENGINE_EJECTED = (6001, "engine ejected")
    ENGINE_READMITTED = (6002, "engine readmitted")
    ORPHAN_CANCELLED = (6003, "orphaned engine request cancelled")
    SERVER_PAUSED = (6006, "backend server paused after a failure")
    LIMIT_CHANGED = (6007, "limit of a backend server changed")
    LIMIT_INVALID = (6008, "limit of a backend server can't be read")
    STAGE_ORDERED = (6004, "engine ordered to change stage")
    ORDER_REFUSED = (6005, "order to an engine refused or lost")
    REQUEST_QUARANTINED = (7001, "request quarantined")
    SERVER_LOST = (7002, "backend server lost")
    LOSS_UNKNOWN = (7003, "backend server unreachable after a broken run")

    @property
    def number(self) -> int:
        """The stable number of the event."""
        return self.value[0]

    @property
    def text(self) -> str:
        """The fixed message of the event."""
        return self.value[1]


def configure_logging(level: str, file: Any = sys.stderr) -> None:
    """Configures structlog to write JSON lines to a file.

    Args:
        level: name of the lowest level to write, such as ``info``.
        file: standard error, or another object with ``write`` and ``flush``.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        # One write per line, so that lines of several processes in one file don't mix.
        logger_factory=structlog.WriteLoggerFactory(file=file),
        cache_logger_on_first_use=False,
    )


_logger = structlog.get_logger()


def log_info(event: Event, **fields: object) -> None:
    """Logs an event of normal operation."""
    _logger.info(event.text, event_number=event.number, **fields)


def log_warning(event: Event, **fields: object) -> None:
    """Logs an event that may need the attention of an operator."""
    _logger.warning(event.text, event_number=event.number, **fields)
