package umberslip.core

import kotlin.time.Duration

/** The steady clock, as the time passed since some fixed moment of this process. */
fun interface Clock {
    /** Never falls. */
    fun now(): Duration
}
