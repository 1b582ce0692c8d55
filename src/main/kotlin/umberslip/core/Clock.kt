package umberslip.core

import kotlin.time.Duration

/** A monotonic clock. Its readings count from an arbitrary but fixed moment of this process. */
fun interface Clock {
    /** Never decreases. */
    fun now(): Duration
}
