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
 * Writes down, for the leader, which machines this follower has renewed the leases of: they are alive, though the
 * leader does not reach them. The record is a hint: one that is lost or written late does no harm.
 */
class FollowerRenewalPublisher(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val store: KeyValueStore,
    private val renewal: FollowerLeaseRenewal,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val key = Keys.followerRenewals(settings.member)

    /** The version of the record that was written last; null where it has to be read first. */
    private var version: Version? = null

    fun start(): Job =
        scope.launchLoop("follower renewals", log) {
            delay(PUBLISH_INTERVAL)
            publish()
        }

    private suspend fun publish() {
        val machineNames = renewal.takeRenewed(settings.storeLimits.valueBytes)
        if (machineNames.isEmpty()) return
        try {
            write(MachineSetRecord(machineNames))
        } catch (e: ServiceUnavailableException) {
            log.debug("follower renewals not published: reason={}", e.message)
        } catch (e: NoResponseException) {
            log.debug("follower renewals perhaps not published: reason={}", e.message)
        }
    }

    private suspend fun write(record: MachineSetRecord) {
        val known = version ?: store.get(key)?.version ?: Version.NONE
        version = null
        val result =
            store.compareAndSwap(listOf(Precondition(key, known)), listOf(Write.Put(key, record.toMap())))
        if (result is TransactionResult.Applied) version = result.version
    }

    private companion object {
        /** Well within a lease, so that the leader hears of a machine before it takes it for lost. */
        val PUBLISH_INTERVAL = 3.seconds
    }
}
