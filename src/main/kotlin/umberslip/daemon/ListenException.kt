package umberslip.daemon

import java.net.InetSocketAddress

/** A controller cannot listen on an address of its settings; the message names the setting, the address and why. */
class ListenException(
    setting: String,
    address: InetSocketAddress,
    cause: Exception,
) : Exception("$setting: cannot listen on ${address.hostString}:${address.port}: ${cause.message}", cause)
