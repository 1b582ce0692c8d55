package umberslip.core

/** The name that the cloud assigned to a machine. It is never reused for another machine. */
@JvmInline
value class MachineName(
    val value: String,
)
