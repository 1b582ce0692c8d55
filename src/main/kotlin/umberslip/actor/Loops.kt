package umberslip.actor

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.slf4j.Logger
import kotlin.time.Duration.Companion.seconds

/** A loop that goes on at once could do nothing but fail. */
private val FAILURE_DELAY = 1.seconds

/**
 * Runs [round] again and again until this scope ends; each round waits by itself. A round that fails is logged and
 * affects that round alone: what depends on the loop, as provisioning does, would otherwise stand still for ever.
 */
fun CoroutineScope.launchLoop(
    name: String,
    log: Logger,
    round: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                round()
            } catch (e: Exception) {
                ensureActive()
                log.error("round of a loop failed: loop={}", name, e)
                delay(FAILURE_DELAY)
            }
        }
    }
