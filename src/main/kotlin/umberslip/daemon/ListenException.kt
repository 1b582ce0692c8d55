package umberslip.daemon

import java.net.InetSocketAddress

/** A controller cannot listen on an address from its settings. The message names the setting, address and cause. */
class ListenException(
    setting: String,
    address: InetSocketAddress,
    cause: Exception,
) : Exception("$setting: cannot listen on ${address.hostString}:${address.port}: ${cause.message}", cause)
