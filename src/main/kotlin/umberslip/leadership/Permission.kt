package umberslip.leadership

/** Whether a controller may act as the leader at a given time and, if not, the reason. */
enum class Permission {
    GRANTED,
    NOT_LEADING,
    LEADERSHIP_LOST,

    /** The newest renewal of the leader's lease is too old. */
    RENEWAL_TOO_OLD,

    /** The newest read of the records is too old, so this controller may not know of a cancellation. */
    READ_TOO_OLD,
}
