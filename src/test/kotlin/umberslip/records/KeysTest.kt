package umberslip.records

import io.kotest.property.Arb
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.TaskId

class KeysTest {
    @Test
    fun `job ids need no escaping in keys`() =
        runBlocking<Unit> {
            checkAll(propertyTestConfig, Arb.string(0, 20)) { text ->
                val id = JobId.parse(text)
                if (id != null) {
                    assertEquals(id, Keys.parseJobId(Keys.job(id)))
                    assertEquals(ProgressKey(id, 3), Keys.parseProgressKey(Keys.progress(id, 3)))
                    assertEquals(TaskId(id, 12), TaskId.parse(TaskId(id, 12).toString()))
                }
            }
            assertNotNull(JobId.parse("run-000412"))
            listOf("", "a b", "a/b", "-a", "a?", "ä").forEach { assertNull(JobId.parse(it), it) }
            listOf("run-1", "run-1/", "run-1/-1", "run-1/x", "/1").forEach { assertNull(TaskId.parse(it), it) }
        }
}
