package umberslip.provisioning

/** The outcome of an attempt to send a provisioning request. */
enum class ProvisioningOutcome {
    PROVISIONED,

    /** The cloud provisioned fewer machines than requested. */
    PARTLY_PROVISIONED,
    NO_CAPACITY,

    /** The cloud rejected the request because of its content; it is not sent again. */
    REJECTED,

    /** The cloud refused the attempt for now; the attempt was certainly not carried out. */
    REFUSED,

    /** There was no response, or an unreadable one. The request may have been or may still be carried out. */
    INDETERMINATE,
}
