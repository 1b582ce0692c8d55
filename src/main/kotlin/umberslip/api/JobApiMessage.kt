package umberslip.api

import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.http.Response

/** Messages handled by [JobApi]. Each request is responded to exactly once. */
sealed interface JobApiMessage {
    class Submit(
        val spec: JobSpec,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    class Status(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    class Cancel(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    /** Reports the instance types that the cloud offers. No job is accepted before the first of these messages. */
    class InstanceTypesChanged(
        val instanceTypes: List<InstanceType>,
    ) : JobApiMessage

    /** Internal to [JobApi]: a batch of submissions was written or failed, so the next one may be written. */
    data object BatchCompleted : JobApiMessage

    /** Internal to [JobApi]: the response to a request is ready to be sent. */
    class ResponseReady(
        val respond: (Response) -> Unit,
        val response: Response,
    ) : JobApiMessage
}
