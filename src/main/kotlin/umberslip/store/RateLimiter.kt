package umberslip.store

import kotlinx.coroutines.delay
import umberslip.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A token bucket: it keeps to a rate per second with bursts of one second's worth. Urgent takers may go into debt,
 * which the others then wait for. Confined to one thread.
 */
class RateLimiter(
    /** Tokens per second. */
    private var rate: Double,
    private val clock: Clock,
    /** The rate from [lowerRate] on. */
    private val lowered: Double = rate,
) {
    private var tokens = rate
    private var lastRefill = clock.now()

    /** What those who wait in [takeSpare] will take. */
    private var reservedTokens = 0

    /** Tokens that [takeSpare] may take though none is spare. */
    private var guaranteedTokens = MAX_GUARANTEED_TOKENS

    /** Takes [amount] tokens, and waits until they are there unless it is [urgent]. */
    suspend fun take(
        amount: Int,
        urgent: Boolean,
    ) {
        refill()
        tokens -= amount
        if (tokens < 0 && !urgent) delay((-tokens / rate).seconds)
    }

    /**
     * Takes what leaves a reserve for other takers, who then do not wait for this one, or else of a small share that is
     * guaranteed to it, so that it is served under a lasting load of others too. False, at once, where either would
     * take longer than [patience].
     */
    suspend fun takeSpare(
        amount: Int,
        patience: Duration,
    ): Boolean {
        refill()
        val secondsUntilSpare = (reservedTokens + amount + rate * RESERVE - tokens) / rate
        val secondsUntilGuaranteed = (reservedTokens + amount - guaranteedTokens) / (rate * GUARANTEED_SHARE)
        val wait = minOf(secondsUntilSpare, secondsUntilGuaranteed).seconds
        if (wait > patience) return false
        if (wait > Duration.ZERO) {
            reservedTokens += amount
            delay(wait)
            reservedTokens -= amount
            refill()
        }
        if (tokens - amount < rate * RESERVE) guaranteedTokens -= amount
        tokens -= amount
        return true
    }

    /** Changes to the lowered rate for good: a service that began to enforce it does not return to the former one. */
    fun lowerRate() {
        if (lowered >= rate) return
        refill()
        rate = lowered
        tokens = minOf(tokens, rate)
    }

    /** How long until [amount] could be taken without waiting. */
    fun timeUntilAvailable(amount: Int): Duration {
        refill()
        return if (tokens >= amount) Duration.ZERO else ((amount - tokens) / rate).seconds
    }

    /** How many tokens could be taken without waiting; negative while in debt. */
    fun available(): Int {
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
        /** The part of a second's worth that is left to others by those who take only what is spare. */
        const val RESERVE = 0.3

        /** The part of the rate that they have even where nothing is spare. */
        const val GUARANTEED_SHARE = 0.25

        /** Hardly any burst, since others use up the rate when it is needed. */
        const val MAX_GUARANTEED_TOKENS = 2.0
    }
}
