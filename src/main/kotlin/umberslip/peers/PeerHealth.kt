package umberslip.peers

/** What the other controllers that can be reached say of the key-value store. */
enum class PeerHealth {
    /** It serves at least one of them. */
    SERVED,

    /** It serves none of them. */
    UNSERVED,

    /** None can be reached. */
    UNREACHABLE,
}
