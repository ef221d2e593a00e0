"""What this host expects of the prompt caches of all engines."""

from __future__ import annotations

from collections.abc import Sequence

from medlarvale.forwarding.messages import EngineStage
from medlarvale.ids import ServiceName
from medlarvale.logs import Event, log_info
from medlarvale.prompt_cache.records import PromptPart, SentPart, SentParts
from medlarvale.prompt_cache.speed import UncachedSpeed
from medlarvale.prompt_cache.survival import CacheSurvival, seems_cached

# Share of a prompt that may be cached, below which its duration does not show whether it was.
LARGE_SHARE = 0.2


class _Learned:
    """What is known of the caches of the engines of one service and stage."""

    def __init__(self) -> None:
        self.survival = CacheSurvival()
        self.speed = UncachedSpeed()
        self.logged = False


class PromptCaches:
    """Expected contents of the prompt caches; makes no calls."""

    def __init__(self) -> None:
        self._sent = SentParts()
        self._learned: dict[tuple[ServiceName, EngineStage], _Learned] = {}

    def note_sent(self, instance: int, parts: Sequence[PromptPart], now_ms: float) -> None:
        """Records that an engine has processed a prompt.

        Args:
            instance: number of the engine's instance.
            parts: parts of the prompt, in order.
            now_ms: monotonic time.
        """
        self._sent.note(instance, parts, now_ms)

    def sent(
        self, instance: int, parts: Sequence[PromptPart], now_ms: float
    ) -> tuple[SentPart, ...]:
        """Returns the parts at the beginning of a prompt that an engine has processed."""
        return self._sent.beginning(instance, parts, now_ms)

    def expected_tokens(
        self,
        service: ServiceName,
        stage: EngineStage,
        instance: int,
        parts: Sequence[PromptPart],
        now_ms: float,
    ) -> float:
        """Returns the expected cached tokens of a prompt at an engine."""
        learned = self._learned.get((service, stage))
        if learned is None or not parts:
            return 0.0
        return learned.survival.cached_tokens(self.sent(instance, parts, now_ms), now_ms)

    def uncached_tokens_per_ms(self, service: ServiceName, stage: EngineStage) -> float | None:
        """Returns the measured speed of prefills without cached parts; None if it is not known.

        It is measured only for prompts of which a large share may be cached.
        """
        learned = self._learned.get((service, stage))
        ms_per_token = learned.speed.ms_per_token() if learned is not None else None
        return 1.0 / ms_per_token if ms_per_token is not None else None

    def note_prefill(
        self,
        service: ServiceName,
        stage: EngineStage,
        sent: Sequence[SentPart],
        shared_tokens: int,
        prompt_tokens: int,
        took_ms: float,
        now_ms: float,
    ) -> int:
        """Learns from the duration of a prefill at an engine without a queue of this host.

        Args:
            service: service of the engine.
            stage: its stage.
            sent: parts at the beginning of the prompt that it had processed before.
            shared_tokens: size of the parts that other requests may share.
            prompt_tokens: size of the prompt.
            took_ms: duration.
            now_ms: monotonic time.

        Returns:
            The tokens that the engine has computed, as far as that is clear.
        """
        sent_tokens = sum(part.tokens for part in sent)
        cacheable = min(prompt_tokens, max(shared_tokens, sent_tokens))
        if not prompt_tokens or cacheable < LARGE_SHARE * prompt_tokens:
            return prompt_tokens
        key = (service, stage)
        learned = self._learned.setdefault(key, _Learned())
        if not sent:
            learned.speed.note(prompt_tokens, took_ms)
        ms_per_token = learned.speed.ms_per_token()
        if ms_per_token is None:
            return prompt_tokens
        without_ms = prompt_tokens * ms_per_token
        if sent_tokens:
            cached = seems_cached(took_ms, without_ms, sent_tokens * ms_per_token)
            if cached is not None:
                # The largest part makes the difference that was measured.
                age_ms = max(sent, key=lambda part: part.tokens).age_ms
                learned.survival.note(age_ms, cached, now_ms)
                self._log_first(key, learned, age_ms, now_ms)
        if seems_cached(took_ms, without_ms, cacheable * ms_per_token):
            return prompt_tokens - cacheable
        return prompt_tokens

    def _log_first(
        self,
        key: tuple[ServiceName, EngineStage],
        learned: _Learned,
        age_ms: float,
        now_ms: float,
    ) -> None:
        share = learned.survival.probability(age_ms, now_ms)
        if learned.logged or not share:
            return
        learned.logged = True
        log_info(
            Event.PROMPT_CACHE_MEASURED,
            service=key[0],
            stage=key[1].value,
            age_ms=int(age_ms),
            share=round(share, 3),
        )
