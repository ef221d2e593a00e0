"""TLS contexts from certificate files, which can be reloaded without dropping connections."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from medlarvale.errors import MedlarvaleError
from medlarvale.file_watch import WatchedFiles

MIN_TLS_VERSION = ssl.TLSVersion.TLSv1_2
# X509_V_ERR_CERT_NOT_YET_VALID and X509_V_ERR_CERT_HAS_EXPIRED of OpenSSL.
VALIDITY_ERRORS = {9: "the certificate is not valid yet", 10: "the certificate has expired"}


class TlsFilesError(MedlarvaleError):
    """Files for TLS are missing or invalid."""

    code = "tls_files_invalid"


@dataclass(frozen=True)
class CertificateFiles:
    """A certificate chain and its key as PEM files; the key has no passphrase."""

    cert: Path
    key: Path


@dataclass(frozen=True)
class TlsFiles:
    """TLS files of a process; None if a side uses none.

    Attributes:
        backend_ca: CA certificates trusted for backend servers; None for those that the system
            trusts.
        backend_client: certificate presented to backend servers that request one.
    """

    caller: CertificateFiles | None = None
    operators: CertificateFiles | None = None
    backend_ca: Path | None = None
    backend_client: CertificateFiles | None = None


class ReloadableContext(ssl.SSLContext):
    """Context that delegates each new connection to the most recently loaded context.

    Replacing the whole context prevents a certificate from being combined with a key that does not
    belong to it if a reload fails midway. Open connections keep their original context.
    """

    current: ssl.SSLContext

    def wrap_bio(self, *args: Any, **options: Any) -> ssl.SSLObject:
        """Returns the TLS state of a new connection; event loops call this for each one."""
        return self.current.wrap_bio(*args, **options)


class TlsContexts:
    """The TLS contexts of a process.

    Attributes:
        caller: context of the callers' port, None for plain HTTP.
        operators: context of the operators' port, None for plain HTTP.
        backend: context for connections to backend servers, None for the system's certificates.

    Raises:
        TlsFilesError: if files are missing or invalid.
    """

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self.caller = ReloadableContext(ssl.PROTOCOL_TLS_SERVER) if files.caller else None
        self.operators = ReloadableContext(ssl.PROTOCOL_TLS_SERVER) if files.operators else None
        backend = files.backend_ca or files.backend_client
        self.backend = ReloadableContext(ssl.PROTOCOL_TLS_CLIENT) if backend else None
        for watched in self.watched():
            watched.load()

    def watched(self) -> Iterator[WatchedFiles]:
        """Yields the files of each context with the function that loads them."""
        sides = (
            ("caller certificate", self.caller, self._files.caller),
            ("operators certificate", self.operators, self._files.operators),
        )
        for name, reloadable, files in sides:
            if reloadable is not None and files is not None:
                yield WatchedFiles(name, (files.cert, files.key), _server_loader(reloadable, files))
        if self.backend is not None:
            client, backend = self._files.backend_client, self.backend
            paths = [self._files.backend_ca, *((client.cert, client.key) if client else ())]

            def load() -> None:
                backend.current = client_context(self._files.backend_ca, client)

            yield WatchedFiles("backend certificates", tuple(path for path in paths if path), load)


def server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Returns a context for a listening port.

    Raises:
        TlsFilesError: if the files can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = MIN_TLS_VERSION
    context.set_alpn_protocols(["http/1.1"])
    _load_certificate(context, files)
    return context


def client_context(ca: Path | None, files: CertificateFiles | None = None) -> ssl.SSLContext:
    """Returns a context that verifies the certificate and name of a server.

    Args:
        ca: certificates to trust; None for those that the system trusts.
        files: certificate to present to the server.

    Raises:
        TlsFilesError: if the files can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = MIN_TLS_VERSION
    if ca is None:
        context.load_default_certs()
    else:
        _trust(context, ca)
    if files is not None:
        _load_certificate(context, files)
    return context


def _server_loader(reloadable: ReloadableContext, files: CertificateFiles) -> Callable[[], None]:
    def load() -> None:
        reloadable.current = server_context(files)

    return load


def _trust(context: ssl.SSLContext, path: Path) -> None:
    try:
        context.load_verify_locations(cafile=path)
    except ssl.SSLError as error:
        raise TlsFilesError(f"{path}: no readable PEM certificate") from error
    except OSError as error:
        raise TlsFilesError(f"{path}: {error.strerror}") from error


def _load_certificate(context: ssl.SSLContext, files: CertificateFiles) -> None:
    checker = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _trust(checker, files.cert)
    try:
        # Without a passphrase argument, OpenSSL would prompt for one at the terminal.
        context.load_cert_chain(files.cert, files.key, password="")
    except ssl.SSLError as error:
        if error.reason == "KEY_VALUES_MISMATCH":
            raise TlsFilesError(f"{files.key}: not the key of {files.cert}") from error
        raise TlsFilesError(f"{files.key}: no readable PEM key without passphrase") from error
    except OSError as error:
        raise TlsFilesError(f"{files.key}: {error.strerror}") from error
    _check_validity(checker, files)


def _check_validity(checker: ssl.SSLContext, files: CertificateFiles) -> None:
    """Checks the validity dates by a handshake in memory; ``ssl`` can't read them from a file.

    Args:
        checker: client context that trusts the certificate itself.
    """
    checker.check_hostname = False
    checker.verify_flags |= ssl.VerifyFlags.VERIFY_X509_PARTIAL_CHAIN
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(files.cert, files.key, password="")
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    sides = [
        checker.wrap_bio(to_client, to_server),
        server.wrap_bio(to_server, to_client, server_side=True),
    ]
    # After two rounds, the client has received the certificate and verified it.
    for side in sides * 2:
        try:
            side.do_handshake()
        except ssl.SSLWantReadError:
            continue
        except ssl.SSLCertVerificationError as error:
            if error.verify_code in VALIDITY_ERRORS:
                fault = VALIDITY_ERRORS[error.verify_code]
                raise TlsFilesError(f"{files.cert}: {fault}") from error
            return
