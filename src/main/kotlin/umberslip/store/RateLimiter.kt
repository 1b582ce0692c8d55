package umberslip.store

import kotlinx.coroutines.delay
import umberslip.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A token bucket with a rate per second and bursts of one second's worth of tokens. Urgent callers take tokens without
 * waiting, even if none are left; the other callers then wait until the debt is paid off. Confined to one thread.
 */
class RateLimiter(
    /** Tokens per second. */
    private var rate: Double,
    private val clock: Clock,
    /** The rate after a call of [lowerRate]. */
    private val loweredRate: Double = rate,
) {
    private var tokens = rate
    private var lastRefill = clock.now()

    /** The tokens that callers waiting in [tryTakeLowPriority] will take. */
    private var awaitedTokens = 0

    /** The tokens that [tryTakeLowPriority] may take even from the reserve for other callers. */
    private var guaranteedTokens = MAX_GUARANTEED_TOKENS

    /** Takes [amount] tokens. Waits until they are available, unless the call is [urgent]. */
    suspend fun take(
        amount: Int,
        urgent: Boolean,
    ) {
        refill()
        tokens -= amount
        if (tokens < 0 && !urgent) delay((-tokens / rate).seconds)
    }

    /**
     * Takes [amount] tokens with low priority. The call leaves a reserve for other callers, so that they need not wait
     * for it. If there are no tokens beyond the reserve, it uses a small guaranteed share of the rate, so that it also
     * succeeds under a lasting load from other callers. Returns false at once if both would take longer than [maxWait].
     */
    suspend fun tryTakeLowPriority(
        amount: Int,
        maxWait: Duration,
    ): Boolean {
        refill()
        val secondsUntilAboveReserve = (awaitedTokens + amount + rate * RESERVED_FRACTION - tokens) / rate
        val secondsUntilGuaranteed = (awaitedTokens + amount - guaranteedTokens) / (rate * GUARANTEED_SHARE)
        val wait = minOf(secondsUntilAboveReserve, secondsUntilGuaranteed).seconds
        if (wait > maxWait) return false
        if (wait > Duration.ZERO) {
            awaitedTokens += amount
            delay(wait)
            awaitedTokens -= amount
            refill()
        }
        if (tokens - amount < rate * RESERVED_FRACTION) guaranteedTokens -= amount
        tokens -= amount
        return true
    }

    /** Lowers the rate permanently, because a service that began to enforce the lower rate does not raise it again. */
    fun lowerRate() {
        if (loweredRate >= rate) return
        refill()
        rate = loweredRate
        tokens = minOf(tokens, rate)
    }

    /** Returns how long it takes until [amount] tokens can be taken without waiting. */
    fun timeUntilAvailable(amount: Int): Duration {
        refill()
        return if (tokens >= amount) Duration.ZERO else ((amount - tokens) / rate).seconds
    }

    /** Returns how many tokens can be taken without waiting; negative while there is a debt. */
    fun availableTokens(): Int {
        refill()
        return tokens.toInt()
    }

    private fun refill() {
        val now = clock.now()
        val added = (now - lastRefill).toDouble(DurationUnit.SECONDS) * rate
        tokens = minOf(rate, tokens + added)
        guaranteedTokens = minOf(MAX_GUARANTEED_TOKENS, guaranteedTokens + added * GUARANTEED_SHARE)
        lastRefill = now
    }

    private companion object {
        /** The fraction of one second's tokens that low-priority calls leave to other callers. */
        const val RESERVED_FRACTION = 0.3

        /** The fraction of the rate that low-priority calls get even if only the reserve is left. */
        const val GUARANTEED_SHARE = 0.25

        /** Allows hardly any burst, since other callers use up the rate whenever the guaranteed share is needed. */
        const val MAX_GUARANTEED_TOKENS = 2.0
    }
}
