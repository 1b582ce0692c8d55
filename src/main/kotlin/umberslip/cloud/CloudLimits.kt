package umberslip.cloud

/** The limits of one request according to the cloud's published protocol. */
object CloudLimits {
    /** The most machines that one request may ask for; the least is one. */
    const val MACHINES_PER_REQUEST = 50

    /** The most machines that one request may terminate. */
    const val MACHINES_PER_TERMINATION = 100

    /** The largest page of the list of machines. */
    const val MACHINES_PER_PAGE = 500
}
