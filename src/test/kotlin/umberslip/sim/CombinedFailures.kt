package umberslip.sim

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Plays each combined failure with each seed. The static method `failures` of a subclass lists both. */
abstract class CombinedFailures {
    @ParameterizedTest
    @MethodSource("failures")
    fun `no rule is broken and every job finishes`(
        failure: CombinedFailure,
        seed: Int,
    ) = failure.check(seed)
}
