/** Counters and latency histograms of the gateway. */
package org.guavagw.gateway.internal.metrics;
