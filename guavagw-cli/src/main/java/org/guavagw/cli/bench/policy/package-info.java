/** Scenarios that measure cascades, quality estimates and rollouts. */
package org.guavagw.cli.bench.policy;
