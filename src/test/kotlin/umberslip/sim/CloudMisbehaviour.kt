package umberslip.sim

/** The ways in which a simulated cloud may violate its protocol. */
enum class CloudMisbehaviour {
    REJECTS_ALL,

    /** Rejects provisioning requests for one of the instance types. */
    REJECTS_TYPE,

    /** Rejects provisioning requests for one of the zones. */
    REJECTS_ZONE,

    /** Rejects provisioning requests with the name of the first one. */
    REJECTS_FIRST_NAME,

    /** Rejects provisioning requests for more than two machines, although the protocol allows far more. */
    REJECTS_MORE_THAN_TWO,

    /** Never answers provisioning requests with the name of the first one. */
    NEVER_ANSWERS_FIRST_NAME,
    SENDS_UNREADABLE_RESPONSES,
    PROVISIONS_MORE,
    NAMES_MACHINES_TWICE,
    REJECTS_LIST,
    SENDS_UNREADABLE_LIST,
    REJECTS_INSTANCE_TYPES,
    SENDS_UNREADABLE_INSTANCE_TYPES,

    /** Rejects every termination request that names one certain machine, even if it names others as well. */
    REJECTS_ONE_TERMINATION,
}
