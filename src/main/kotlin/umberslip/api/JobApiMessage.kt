package umberslip.api

import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.http.Response

/** What the [JobApi] handles. Each request is responded to exactly once. */
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

    /** The cloud offers these instance types; before the first of these messages nothing is accepted. */
    class InstanceTypesChanged(
        val all: List<InstanceType>,
    ) : JobApiMessage

    /** The API's own: a batch of submissions was written or failed, so the next may be written. */
    data object BatchCompleted : JobApiMessage

    /** The API's own: a response to a request is ready. */
    class Answered(
        val respond: (Response) -> Unit,
        val response: Response,
    ) : JobApiMessage
}
