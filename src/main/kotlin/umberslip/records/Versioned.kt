package umberslip.records

import umberslip.store.Version

/** A record with the version of its key, as the precondition of the next write to it needs. */
class Versioned<T>(
    val value: T,
    val version: Version,
)
