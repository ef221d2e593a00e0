"""TLS contexts from certificate files; a context follows its files without dropping connections."""

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
    """Files for TLS can't be used."""

    code = "tls_files_invalid"


@dataclass(frozen=True)
class CertificateFiles:
    """A certificate chain with its key, as PEM files; the key carries no passphrase."""

    cert: Path
    key: Path


@dataclass(frozen=True)
class TlsFiles:
    """Files of a process; None leaves that side without them.

    Attributes:
        backend_ca: certificates that sign those of backend servers; without it, those that the
            system trusts.
        backend_client: shown to backend servers that ask for a certificate.
    """

    caller: CertificateFiles | None = None
    operators: CertificateFiles | None = None
    backend_ca: Path | None = None
    backend_client: CertificateFiles | None = None


class ReloadableContext(ssl.SSLContext):
    """Context that makes each new connection with the newest context loaded.

    Replacing the whole context keeps a certificate from being combined with a key that does not
    belong to it when a reload fails midway. Open connections keep the context they began with.
    """

    current: ssl.SSLContext

    def wrap_bio(self, *args: Any, **options: Any) -> ssl.SSLObject:
        """Returns the TLS state of a new connection; event loops call this for each one."""
        return self.current.wrap_bio(*args, **options)


class TlsContexts:
    """The contexts of a process.

    Attributes:
        caller: context of the callers' port, None for plain HTTP; ``operators`` likewise.
        backend: context of connections to backend servers, None for the system's trust.

    Raises:
        TlsFilesError: if files can't be used.
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
        """Yields each context's files with the action that loads them again."""
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
    """Returns a context that checks a server's certificate and name.

    Args:
        ca: certificates to trust; None for those that the system trusts.
        files: certificate to show to the server.

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
        # The passphrase is given, since OpenSSL would ask for it at the terminal otherwise.
        context.load_cert_chain(files.cert, files.key, password="")
    except ssl.SSLError as error:
        if error.reason == "KEY_VALUES_MISMATCH":
            raise TlsFilesError(f"{files.key}: not the key of {files.cert}") from error
        raise TlsFilesError(f"{files.key}: no readable PEM key without passphrase") from error
    except OSError as error:
        raise TlsFilesError(f"{files.key}: {error.strerror}") from error
    _check_validity(checker, files)


def _check_validity(checker: ssl.SSLContext, files: CertificateFiles) -> None:
    """Checks the dates by a handshake in memory, since ``ssl`` reads no dates from a file.

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
    # Two rounds bring the certificate to the client, which checks it.
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
