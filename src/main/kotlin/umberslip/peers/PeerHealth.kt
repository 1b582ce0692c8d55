package umberslip.peers

/** Whether the key-value store serves the peers, according to the newest pongs of the reachable ones. */
enum class PeerHealth {
    /** The key-value store serves at least one reachable peer. */
    SERVED,

    /** Peers are reachable, but the key-value store serves none of them. */
    UNSERVED,

    /** No peer is reachable. */
    UNREACHABLE,
}
