package umberslip.api

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import umberslip.core.Clock
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.sim.Fixtures
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.UnusedKeyValueStore
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration

class SubmissionWriterTest {
    private val batch =
        List(12) { number ->
            PendingSubmission(JobRecord(Fixtures.job(Random(number), number), Instant.EPOCH, cancelled = false), 100)
        }

    /** Rejects every transaction that writes [rejectedKey]. */
    private class RejectingStore(
        private val rejectedKey: String,
    ) : KeyValueStore by UnusedKeyValueStore {
        override suspend fun compareAndSwap(
            preconditions: List<Precondition>,
            writes: List<Write>,
        ): TransactionResult =
            if (writes.any { it.key == rejectedKey }) {
                TransactionResult.Rejected("malformed")
            } else {
                TransactionResult.Applied(Version(1))
            }
    }

    @Test
    fun `a submission that the store rejects does not keep others of its batch from being created`() =
        runBlocking {
            val rejected = batch[7]
            val store = RejectingStore(Keys.job(rejected.id))
            val log = LoggerFactory.getLogger("umberslip.api")
            val writeRateLimiter = RateLimiter(10_000.0, Clock { Duration.ZERO })
            SubmissionWriter(store, writeRateLimiter, announce = {}, log).write(batch)
            for (submission in batch) {
                val expected = if (submission == rejected) SubmissionResult.UNCONFIRMED else SubmissionResult.CREATED
                assertEquals(expected, submission.result.await(), submission.id.value)
            }
        }
}
