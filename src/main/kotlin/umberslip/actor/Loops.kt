package umberslip.actor

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.Logger
import kotlin.time.Duration.Companion.seconds

/** The delay after a failed iteration, which keeps a loop from failing continuously without a pause. */
private val FAILURE_DELAY = 1.seconds

/**
 * Runs [iteration] repeatedly until this scope ends. Each iteration must include its own delay. A failed iteration is
 * logged and the loop continues; otherwise the work that depends on the loop, such as provisioning, would stop
 * permanently.
 */
fun CoroutineScope.launchLoop(
    name: String,
    log: Logger,
    iteration: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                iteration()
            } catch (e: Exception) {
                ensureActive()
                log.error("loop iteration failed, retrying: loop={}", name, e)
                delay(FAILURE_DELAY)
            }
        }
    }
