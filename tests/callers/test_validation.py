"""Tests that invalid requests get a 4xx status and outcome not_run and are not dispatched."""

import hashlib
import json

from tests.callers.support import CallerTestCase
from tests.completions.fakes import API_KEY

CHAT = '{"model": "slidsk", "messages": [{"role": "user", "content": "a"}]'
DEEP = "[" * 100_000
BASE = "Host: a\r\nX-Workspace: glatfore\r\n"


class ValidationTest(CallerTestCase):
    values = {"max_body_bytes": 200_000, "max_prompt_tokens": 50, "max_output_tokens": 100}

    async def test_invalid_body_is_refused_with_4xx(self) -> None:
        """Guards against invalid bodies that reach an engine or cause a status 500."""
        table = [
            ("{", "bad_json"),
            ("", "bad_json"),
            ("\x00", "bad_json"),
            (DEEP, "bad_value"),
            ('{"messages": ' + DEEP, "bad_value"),
            (CHAT + ', "stop": ' + DEEP, "bad_json"),
            (CHAT + ', "temperature": NaN}', "bad_json"),
            (
                '{"model": "slidsk", "messages": [{"role": "user", "content": "\\ud800"}]}',
                "bad_json",
            ),
            ("[]", "bad_value"),
            ('{"messages": []}', "bad_value"),
            ('{"model": 5, "messages": []}', "bad_value"),
            ('{"model": "slidsk", "messages": [{"role": "king", "content": "a"}]}', "bad_value"),
            ('{"model": "slidsk", "messages": []}', "bad_value"),
            (CHAT + ', "max_tokens": 0}', "bad_value"),
            (CHAT + ', "max_tokens": -1}', "bad_value"),
            (CHAT + ', "max_tokens": 1.5}', "bad_value"),
            (CHAT + ', "max_tokens": 101}', "bad_value"),
            (CHAT + ', "max_tokens": 1' + "0" * 400 + "}", "bad_value"),
            (CHAT + ', "max_completion_tokens": true}', "bad_value"),
            (CHAT + ', "temperature": 1e999}', "bad_value"),
            (CHAT + ', "stream": "yes"}', "bad_value"),
            (CHAT + ', "n": 2}', "unsupported_parameter"),
            (CHAT + ', "stop": ["x"]}', "unsupported_parameter"),
            (CHAT.replace("slidsk", "nobody") + "}", "model_not_found"),
            (CHAT.replace("slidsk", "redacteur") + "}", "service_forbidden"),
            (CHAT.replace('"a"', json.dumps("a " * 60)) + "}", "prompt_too_long"),
            (CHAT + " " * 200_001, "body_too_large"),
        ]
        for body, code in table:
            with self.subTest(body=body[:90]):
                url = f"{self.url}/v1/chat/completions"
                async with self.session.post(url, data=body.encode()) as answer:
                    error = (await answer.json())["error"]
                    self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
                    self.assertEqual(answer.headers["X-Outcome"], "not_run")
                    self.assertEqual(answer.headers["X-Request-Id"], error["request_id"])
                    self.assertTrue(400 <= answer.status < 500)
        for body in ('{"model": "slidsk", "prompt": ""}', '{"model": "slidsk", "prompt": [-1]}'):
            async with self.session.post(f"{self.url}/v1/completions", data=body) as answer:
                self.assertEqual((await answer.json())["error"]["code"], "bad_value")
        self.assert_nothing_dispatched()

    async def test_smuggled_requests_and_ambiguous_headers_are_refused(self) -> None:
        """Guards against request smuggling and headers that servers interpret differently."""
        post = "POST /v1/completions HTTP/1.1\r\n" + BASE
        book = "POST /services/udlaan-app/x HTTP/1.1\r\n" + BASE + "Idempotency-Key: k\r\n"
        chunked = "Transfer-Encoding: chunked\r\n"
        table = [
            (post + "Content-Length: 2\r\n" + chunked + "\r\n0\r\n\r\n", "malformed_request"),
            (post + chunked + "Content-Length: 2\r\n" + "\r\n0\r\n\r\n", "malformed_request"),
            (post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", "malformed_request"),
            (post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", "malformed_request"),
            (post + "Content-Length: -2\r\n\r\n{}", "malformed_request"),
            (post + "Content-Length: +2\r\n\r\n{}", "malformed_request"),
            (post + "Content-Length: 2,2\r\n\r\n{}", "malformed_request"),
            (post + "Content-Length : 2\r\n\r\n{}", "malformed_request"),
            (post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "malformed_request"),
            (post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", "malformed_request"),
            (post + chunked + chunked + "\r\n0\r\n\r\n", "malformed_request"),
            (post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "malformed_request"),
            (post + "X-A: 1\r\n folded\r\nContent-Length: 2\r\n\r\n{}", "malformed_request"),
            (post + "X-A: \x00\r\nContent-Length: 2\r\n\r\n{}", "malformed_request"),
            (post + "X A: 1\r\n\r\n", "malformed_request"),
            (post + "Host: b\r\n\r\n", "malformed_request"),
            (post + chunked + "\r\nzz\r\n", "malformed_request"),
            (post.replace("1.1", "1.0") + chunked + "\r\n0\r\n\r\n", "malformed_request"),
            ("POST /v1/completions HTTP/1.1\r\nX-Workspace: glatfore\r\n\r\n", "malformed_request"),
            ("GARBAGE\r\n\r\n", "malformed_request"),
            ("GET /" + "a" * 9_000 + " HTTP/1.1\r\n" + BASE + "\r\n", "malformed_request"),
            (post + "X-Workspace: glatfore\r\n\r\n", "bad_header"),
            (post + "Authorization: Basic eA==\r\n\r\n", "bad_header"),
            (book + "X-Deadline-Ms: -1\r\n\r\n", "bad_header"),
            (book + "X-Deadline-Ms: 9999999999999999999999\r\n\r\n", "bad_header"),
            (book + "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\n\r\n", "bad_header"),
            (book + "Idempotency-Key: k2\r\n\r\n", "bad_header"),
            (book.replace(": k\r", ": a b\r") + "\r\n", "bad_header"),
            (book.replace(": k\r", ":\r") + "\r\n", "bad_header"),
            (book.replace(": k\r", ": " + "k" * 256 + "\r") + "\r\n", "bad_header"),
            (book + "X-HTTP-Method-Override: GET\r\n\r\n", "bad_header"),
            (book + "X-A: \xe9\r\n\r\n", "bad_header"),
            (book + "Expect: miracles\r\n\r\n", "http_refused"),
        ]
        for text, code in table:
            with self.subTest(text=text[:160]):
                status, error = await self.raw(text.encode("latin-1"))
                self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
                self.assertTrue(400 <= status < 500)
        self.assert_nothing_dispatched()

    async def test_ambiguous_path_is_refused(self) -> None:
        """Guards against a path that matches a rule for lookups but is a booking for the server."""
        table = [
            ("/stock/../reservations", "bad_path"),
            ("/stock/%2e%2e/reservations", "bad_path"),
            ("/stock%2f..%2freservations", "bad_path"),
            ("/stock/%252e%252e/reservations", "bad_path"),
            ("//stock", "bad_path"),
            ("/stock\\x", "bad_path"),
            ("/stock/%00", "bad_path"),
            ("/stock/%ff", "bad_path"),
            ("/stock/%zz", "bad_path"),
            ("/stock#x", "bad_path"),
            ("/stock/%72eserve", "idempotency_key_missing"),
        ]
        for path, code in table:
            with self.subTest(path=path):
                head = f"GET /services/udlaan-app{path} HTTP/1.1\r\n{BASE}\r\n"
                _, error = await self.raw(head.encode())
                self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
        for target, code in [
            ("/services/%75dlaan-app/stock", "bad_path"),
            ("/services/slidsk-llm/x", "unknown_service"),
            ("/services/nobody/x", "unknown_service"),
            ("/nowhere", "not_found"),
            ("/v1/completions", "method_not_allowed"),
        ]:
            with self.subTest(target=target):
                _, error = await self.raw(f"GET {target} HTTP/1.1\r\n{BASE}\r\n".encode())
                self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
        self.assert_nothing_dispatched()

    async def test_caller_is_refused_by_other_workspaces(self) -> None:
        """Guards against a caller that acts on behalf of another workspace."""
        digest = hashlib.sha256(API_KEY.encode()).hexdigest()
        table = [
            ("", 401, "workspace_missing"),
            ("X-Workspace: nobody\r\n", 403, "unknown_workspace"),
            ("X-Workspace: ventilo\r\n", 401, "api_key_required"),
            ("Authorization: Bearer wrong\r\n", 401, "unknown_api_key"),
            (f"Authorization: Bearer {digest}\r\n", 401, "unknown_api_key"),
            (
                f"Authorization: Bearer {API_KEY}\r\nX-Workspace: glatfore\r\n",
                403,
                "unknown_workspace",
            ),
        ]
        for headers, status, code in table:
            with self.subTest(headers=headers):
                head = f"GET /v1/models HTTP/1.1\r\nHost: a\r\n{headers}\r\n"
                found, error = await self.raw(head.encode())
                self.assertEqual((found, error["code"]), (status, code))
                self.assertEqual(error["outcome"], "not_run")
