package umberslip.records

import umberslip.store.Version

/** A record with the version of its key, which the precondition of the next write to the key needs. */
class Versioned<T>(
    val value: T,
    val version: Version,
)
