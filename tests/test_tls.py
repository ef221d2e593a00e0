"""Tests of TLS with callers, operators and backend servers, and of reloading its files."""

from __future__ import annotations

import asyncio
import datetime
import ssl
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp
import msgspec
import openai
import trustme
from aiohttp import web
from aiohttp.test_utils import TestServer
from structlog.testing import capture_logs

from medlarvale.cli import build_parser
from medlarvale.clock import ManualClock
from medlarvale.completions.engine_client import Chunk, new_engine_session
from medlarvale.completions.memory_engines import MemoryStream
from medlarvale.file_watch import POLL_PERIOD_MS, FileWatch
from medlarvale.ids import (
    FailureDomain,
    HostId,
    HostIdentity,
    Incarnation,
    PoolName,
    ServerId,
    ServiceName,
)
from medlarvale.logs import Event
from medlarvale.membership.servers import BackendServer
from medlarvale.plain.client import Delivery, new_plain_session
from medlarvale.process_settings import ProcessSettingsError, read_process_settings
from medlarvale.scheduling.errors import ProbeError
from medlarvale.scheduling.probe import HttpEngineProbe
from medlarvale.settings.schema import PoolRole
from medlarvale.standins.engine import build_engine
from medlarvale.standins.serving import serve
from medlarvale.tls import (
    CertificateFiles,
    TlsContexts,
    TlsFiles,
    client_context,
    server_context,
)
from tests.callers.support import CallerTestCase
from tests.completions.fakes import API_KEY
from tests.standins.support import FAST, LOOPBACK, PROMPT, Client, StandinTestCase, prefill_body

IP = "127.0.0.1"
PAST = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)


class Certificates:
    """A certificate authority and the files that it issued."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = trustme.CA()
        self.ca = folder / "ca.pem"
        self.authority.cert_pem.write_to_path(self.ca)

    def issue(self, name: str, expires_at: datetime.datetime | None = None) -> CertificateFiles:
        issued = self.authority.issue_cert(IP, not_after=expires_at)
        files = CertificateFiles(self.folder / f"{name}.pem", self.folder / f"{name}.key")
        issued.cert_chain_pems[0].write_to_path(files.cert)
        issued.private_key_pem.write_to_path(files.key)
        return files


def new_certificates(test: unittest.TestCase) -> Certificates:
    return Certificates(Path(test.enterContext(tempfile.TemporaryDirectory())))


class ReloadTest(CallerTestCase):
    """Tests of callers that use TLS while the certificate changes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # In debug mode, asyncio logs failed handshakes with long tracebacks.
        asyncio.get_running_loop().set_debug(False)
        self.certificates = new_certificates(self)
        self.files = self.certificates.issue("caller")
        tls = TlsContexts(TlsFiles(caller=self.files))
        self.clock = ManualClock()
        self.watch = FileWatch(self.clock, tls.watched())
        self.watch.start()
        site = web.TCPSite(self.server, IP, 0, ssl_context=tls.caller)
        await site.start()
        self.tls_port = self.server.addresses[-1][1]

    async def served_certificate(self) -> bytes:
        context = client_context(self.certificates.ca)
        _, writer = await asyncio.open_connection(IP, self.tls_port, ssl=context)
        served: bytes = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
        writer.close()
        return served

    async def test_stream_continues_while_the_certificate_is_replaced(self) -> None:
        """Guards against a reload that closes connections and so breaks streams at each renewal."""
        http_client = openai.DefaultAsyncHttpxClient(verify=client_context(self.certificates.ca))
        client = openai.AsyncOpenAI(
            api_key=API_KEY,
            base_url=f"https://{IP}:{self.tls_port}/v1",
            http_client=http_client,
        )
        self.addAsyncCleanup(client.close)
        before = await self.served_certificate()
        gate, read = asyncio.Event(), MemoryStream.read

        async def read_behind_gate(engine_stream: MemoryStream) -> list[Chunk]:
            chunks = await read(engine_stream)
            if chunks[-1].done:
                await gate.wait()
            return chunks

        self.enterContext(mock.patch.object(MemoryStream, "read", read_behind_gate))
        stream = await client.completions.create(
            model="slidsk", prompt="a b c", max_tokens=40, stream=True
        )
        texts = [(await anext(stream)).choices[0].text]
        self.certificates.issue("caller")
        with capture_logs() as logged:
            self.clock.advance_ms(POLL_PERIOD_MS)
        self.assertEqual([entry["event_number"] for entry in logged], [Event.FILE_RELOADED.number])
        self.assertNotEqual(await self.served_certificate(), before)
        gate.set()
        finish = ""
        async for chunk in stream:
            texts.append(chunk.choices[0].text)
            finish = chunk.choices[0].finish_reason or finish
        self.assertEqual((len("".join(texts).split()), finish), (40, "length"))

    async def test_invalid_files_keep_the_loaded_certificate(self) -> None:
        """Guards against a half-written pair of files that locks out new callers."""
        before = await self.served_certificate()
        other = self.certificates.issue("other")
        expired = self.certificates.issue("expired", PAST)
        cases = [
            # changed certificate, changed key
            (other.cert.read_bytes(), self.files.key.read_bytes()),
            (b"", other.key.read_bytes()),
            (expired.cert.read_bytes(), expired.key.read_bytes()),
        ]
        for number, (cert, key) in enumerate(cases):
            with self.subTest(number), capture_logs() as logged:
                self.files.cert.write_bytes(cert)
                self.files.key.write_bytes(key)
                self.clock.advance_ms(3 * POLL_PERIOD_MS)
                numbers = [entry["event_number"] for entry in logged]
                self.assertEqual(numbers, [Event.FILE_RELOAD_FAILED.number])
                self.assertEqual(await self.served_certificate(), before)

    async def test_minimum_version(self) -> None:
        """Guards against TLS versions before 1.2, which have known weaknesses but which the default
        of OpenSSL may allow."""
        for context in (server_context(self.files), client_context(self.certificates.ca)):
            self.assertIs(context.minimum_version, ssl.TLSVersion.TLSv1_2)


def server(address: str) -> BackendServer:
    names = ServerId("d0"), address, ServiceName("s"), PoolName("decode")
    return BackendServer(*names, PoolRole.DECODE, FailureDomain("d"))


class BackendTest(unittest.IsolatedAsyncioTestCase):
    """Tests of backend servers with ``https://`` addresses."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.certificates = new_certificates(self)
        self.request_count = 0
        self.other_ca = new_certificates(self).ca

        async def answer(_request: web.Request) -> web.Response:
            self.request_count += 1
            return web.json_response([])

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        context = server_context(self.certificates.issue("server"))
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(cafile=self.certificates.ca)
        self.server = TestServer(app, host=IP)
        await self.server.start_server(ssl=context)
        self.addAsyncCleanup(self.server.close)
        self.client = self.certificates.issue("client")

    async def reach(self, files: TlsFiles) -> list[bool]:
        """Returns whether probe, engine session and plain session reach the server."""
        url = f"https://{IP}:{self.server.port}"
        tls = TlsContexts(files)
        reached = []
        identity = HostIdentity(HostId("a"), Incarnation(1))
        async with new_engine_session(tls.backend) as session:
            try:
                reached.append(await HttpEngineProbe(session, identity).requests(server(url)) == [])
            except ProbeError:
                reached.append(False)
        for new_session in (new_engine_session, new_plain_session):
            async with new_session(tls.backend) as session:
                try:
                    async with session.get(url, trace_request_ctx=Delivery()) as response:
                        reached.append(response.status == 200)
                except aiohttp.ClientError:
                    reached.append(False)
        return reached

    async def test_server_certificates_are_verified(self) -> None:
        """Guards against an impostor that reads prompts and answers in place of the real server."""
        ca, client = self.certificates.ca, self.client
        cases = [
            (TlsFiles(backend_ca=ca, backend_client=client), True),
            (TlsFiles(backend_ca=ca), False),
            (TlsFiles(backend_ca=self.other_ca, backend_client=client), False),
            (TlsFiles(backend_client=client), False),
            (TlsFiles(), False),
        ]
        for files, reached in cases:
            with self.subTest(files):
                self.request_count = 0
                self.assertEqual(await self.reach(files), [reached] * 3)
                self.assertEqual(self.request_count, 3 * reached)


class EngineTest(StandinTestCase):
    async def test_closed_connection_frees_engine_memory(self) -> None:
        """Guards against memory held until the multi-step close of a TLS connection completes."""
        certificates = new_certificates(self)
        app = build_engine(msgspec.structs.replace(FAST, prefill_tokens_per_s=1))
        context = server_context(certificates.issue("engine"))
        bound = await self.enterAsyncContext(serve(app, LOOPBACK, context))
        tls = TlsContexts(TlsFiles(backend_ca=certificates.ca))
        session = await self.enterAsyncContext(new_engine_session(tls.backend))
        engine = Client(session, f"https://{bound}")
        call = asyncio.create_task(engine.call("/v1/prefill", prefill_body(PROMPT)))
        await engine.wait_for_phases("prefilling")
        call.cancel()
        await self.assert_freed(engine)


class ProcessSettingsTest(unittest.TestCase):
    def test_all_invalid_files_are_reported_at_once(self) -> None:
        """Guards against a start that reports one fault at a time, with a restart for each."""
        certificates = new_certificates(self)
        good, other = certificates.issue("good"), certificates.issue("other")
        expired = certificates.issue("expired", PAST)
        flags = {
            "--host": "a",
            "--region": "r",
            "--failure-domain": "d",
            "--listen-caller": "127.0.0.1:1",
            "--listen-peer": "127.0.0.1:2",
            "--listen-operators": "127.0.0.1:3",
            "--peer-key-file": "/absent",
            "--operator-token-file": "/absent",
            "--platform-url": "http://127.0.0.1:4",
            "--caller-cert-file": good.cert,
            "--caller-key-file": other.key,
            "--operators-cert-file": expired.cert,
            "--operators-key-file": expired.key,
            "--backend-ca-file": good.key,
            "--backend-cert-file": good.cert,
        }
        arguments = [str(part) for pair in flags.items() for part in pair]
        with self.assertRaises(ProcessSettingsError) as raised:
            read_process_settings(build_parser().parse_args(["serve", *arguments]))
        faults = raised.exception.message.splitlines()
        for flag, text in [
            ("--peer-key-file", "No such file"),
            ("--operator-token-file", "No such file"),
            ("--caller-cert-file", "not the key of"),
            ("--operators-cert-file", "has expired"),
            ("--backend-ca-file", "no readable PEM certificate"),
            ("--backend-cert-file and --backend-key-file", "only one"),
        ]:
            with self.subTest(flag):
                found = [fault for fault in faults if fault.startswith(flag)]
                self.assertEqual((len(found), text in "".join(found)), (1, True), faults)
