package umberslip.scheduling

/** How the leader treats a worker's heartbeat. */
enum class HeartbeatDisposition {
    /** Its contents are current. To be answered with the leader's term and with commands. */
    ACCEPTED,

    /**
     * It carries an older fencing token, so it may be a delayed copy and does not even show that its machine is up.
     * To be answered with the leader's term alone; a live worker's next heartbeat then carries that term.
     */
    TOKEN_BEHIND,

    /** Older than a heartbeat already processed, or from a terminated machine: gets neither commands nor a lease. */
    OUT_OF_DATE,

    /** The worker knows a higher term, so another controller has been elected. */
    SUPERSEDED,
}
