/** Scenarios that measure cascades, learnt quality and rollouts. */
package org.guavagw.cli.bench.policy;
