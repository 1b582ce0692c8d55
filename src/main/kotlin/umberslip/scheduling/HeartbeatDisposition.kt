package umberslip.scheduling

/** How the leader treats a worker's heartbeat. */
enum class HeartbeatDisposition {
    /** The heartbeat is current. It is answered with the leader's term and with commands. */
    ACCEPTED,

    /**
     * The heartbeat carries an older fencing token. It may be a delayed copy, so it does not show that its machine is
     * up. It is answered with the leader's term alone; the next heartbeat of a live worker then carries that term.
     */
    TOKEN_BEHIND,

    /**
     * The heartbeat is not newer than one already processed, or comes from a terminated machine. It is refused, without
     * commands and without a lease renewal.
     */
    OUT_OF_DATE,

    /** The worker knows a higher term, so another controller has been elected. */
    SUPERSEDED,
}
