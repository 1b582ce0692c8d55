package umberslip.monitoring

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry

/** Publishes a gauge that reads [value] whenever the metrics are scraped. */
fun MeterRegistry.publishGauge(
    name: String,
    value: () -> Double,
) {
    Gauge.builder(name) { value() }.register(this)
}
