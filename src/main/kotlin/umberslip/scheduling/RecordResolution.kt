package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.http.MalformedMessageException
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.ProgressRecord
import umberslip.records.Versioned
import umberslip.store.Version

/**
 * Applies what the key-value store holds under a key whose state the leader does not know. A malformed record is not
 * used, and its version is not taken over, so that nothing is written in its place.
 */
internal class RecordResolution(
    private val jobs: Map<JobId, RunningJob>,
    private val assignments: AssignmentLifecycle,
    private val writeAheadLog: WriteAheadLog,
    private val updateJob: (RunningJob, Versioned<JobRecord>) -> Unit,
    private val removeJob: (RunningJob) -> Unit,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /**
     * Applies the stored state of [key]. [version] is null if the key does not exist; [data] is null if it has no
     * contents.
     */
    fun resolve(
        key: String,
        version: Version?,
        data: Any?,
    ) {
        try {
            if (version == null) resolveMissing(key) else resolveExisting(key, version, data)
        } catch (e: MalformedMessageException) {
            log.error("malformed record neither used nor overwritten: key={} reason={}", key, e.message)
            val job = Keys.parseJobId(key) ?: Keys.parseProgressKey(key)?.job
            jobs[job]?.let(::suspendUnreadable)
            writeAheadLog.markUnreadable(key)
        }
    }

    private fun resolveMissing(key: String) {
        val job = Keys.parseJobId(key)
        val block = progressBlock(key)
        when {
            block != null -> block.version = Version.NONE
            job != null -> jobs[job]?.let(removeJob)
            else -> writeAheadLog.resolve(key, null)
        }
    }

    private fun resolveExisting(
        key: String,
        version: Version,
        data: Any?,
    ) {
        val job = Keys.parseJobId(key)
        when {
            job != null -> resolveExistingJob(job, version, data)
            Keys.parseProgressKey(key) != null -> {
                if (data != null) ProgressRecord.parse(data)
                progressBlock(key)?.version = version
            }
            else -> {
                if (Keys.parseLogSlot(key) != null && data != null) LogRecord.parse(data)
                writeAheadLog.resolve(key, version)
            }
        }
    }

    private fun progressBlock(key: String): ProgressBlock? {
        val progressKey = Keys.parseProgressKey(key) ?: return null
        return jobs[progressKey.job]?.blockByNumber(progressKey.block)
    }

    private fun resolveExistingJob(
        id: JobId,
        version: Version,
        data: Any?,
    ) {
        val job = jobs[id] ?: return
        val record = JobRecord.parse(data)
        if (version.value > job.record.version.value) updateJob(job, Versioned(record, version))
    }

    private fun suspendUnreadable(job: RunningJob) {
        job.isUnreadable = true
        assignments.withdrawUnrecorded(job)
        assignments.refresh(job)
    }
}
