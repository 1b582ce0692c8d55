package umberslip.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import umberslip.actor.launchLoop
import umberslip.agents.FollowerLeaseRenewal
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.records.Keys
import umberslip.records.MachineSetRecord
import umberslip.settings.Settings
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration.Companion.seconds

/**
 * Writes a record, for the leader, of the machines whose leases this follower has renewed: they are alive, although
 * the leader does not hear from them. The record is only a hint, so losing it or writing it late does no harm.
 */
class FollowerRenewalPublisher(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val store: KeyValueStore,
    private val leaseRenewal: FollowerLeaseRenewal,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val key = Keys.followerRenewals(settings.member)

    /** The version of the record as last written; null if it must be read before the next write. */
    private var writtenVersion: Version? = null

    fun start(): Job =
        scope.launchLoop("follower renewals", log) {
            delay(PUBLISH_INTERVAL)
            publish()
        }

    private suspend fun publish() {
        val machineNames = leaseRenewal.takeRenewed(settings.storeLimits.valueBytes)
        if (machineNames.isEmpty()) return
        try {
            write(MachineSetRecord(machineNames))
        } catch (e: ServiceUnavailableException) {
            log.debug("follower renewals not published: reason={}", e.message)
        } catch (e: NoResponseException) {
            log.debug("outcome of publishing follower renewals is indeterminate: reason={}", e.message)
        }
    }

    private suspend fun write(record: MachineSetRecord) {
        val expectedVersion = writtenVersion ?: store.get(key)?.version ?: Version.NONE
        writtenVersion = null
        val result =
            store.compareAndSwap(listOf(Precondition(key, expectedVersion)), listOf(Write.Put(key, record.toMap())))
        if (result is TransactionResult.Applied) writtenVersion = result.version
    }

    private companion object {
        /** Well within a lease, so the leader learns that a machine is alive before it considers the machine lost. */
        val PUBLISH_INTERVAL = 3.seconds
    }
}
