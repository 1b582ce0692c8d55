package umberslip.records

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Clock
import umberslip.http.ServiceUnavailableException
import umberslip.store.Change
import umberslip.store.Changes
import umberslip.store.KeyValueStore
import umberslip.store.Page
import umberslip.store.UnusedKeyValueStore
import umberslip.store.Version
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The record watcher continues to read, whatever a read returns and however it fails; see [MalformedRecordsTest]. */
@OptIn(ExperimentalCoroutinesApi::class)
class RecordWatcherTest {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val store = ScriptedStore()
    private var listenerFails = false
    private val watcher =
        RecordWatcher(scope, store, Clock { scheduler.currentTime.milliseconds }, maxRequests = 10) { _, _ ->
            check(!listenerFails) { "the listener failed" }
        }

    private fun confirm(): RecordView? {
        val answer = scope.async { watcher.confirm() }
        scheduler.advanceTimeBy(2.seconds)
        scheduler.runCurrent()
        assertTrue(answer.isCompleted, "a request for confirmation was never answered")
        return answer.getCompleted()
    }

    @Test
    fun `reads continue after a log row with too few values`() {
        watcher.start()
        assertNotNull(confirm())
        val shortRow = listOf("run-000004", listOf(4L, 3L), listOf<Any>(), listOf<Any>())
        store.nextChanges = {
            Changes(5, listOf(Change.Put(Keys.log(1), mapOf("seq" to 1L, "rows" to listOf(shortRow)), Version(5))))
        }
        assertNotNull(confirm(), "the other records are readable")
        assertNotNull(confirm())
        scope.cancel()
    }

    @Test
    fun `reads continue after one that fails unexpectedly`() {
        watcher.start()
        assertNotNull(confirm())
        store.nextChanges = { error("a programming error") }
        assertNull(confirm())
        store.nextChanges = { throw ServiceUnavailableException("unavailable") }
        assertNull(confirm())
        store.nextChanges = { Changes(6, emptyList()) }
        assertNotNull(confirm())
        listenerFails = true
        confirm()
        listenerFails = false
        assertNotNull(confirm())
        scope.cancel()
    }

    /** Answers reads of changes with [nextChanges]; the complete read returns no records. */
    private class ScriptedStore : KeyValueStore by UnusedKeyValueStore {
        var nextChanges: () -> Changes = { Changes(1, emptyList()) }

        override suspend fun list(
            prefix: String,
            after: String?,
        ) = Page(emptyList(), false, 1)

        override suspend fun changes(
            prefix: String,
            after: Long,
        ): Changes = nextChanges()
    }
}
