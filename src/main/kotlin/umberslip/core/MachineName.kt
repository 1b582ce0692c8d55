package umberslip.core

/** The name that the cloud gave to a machine; never used again for another one. */
@JvmInline
value class MachineName(
    val value: String,
)
