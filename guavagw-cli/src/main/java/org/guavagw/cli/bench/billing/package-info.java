/** Bench of the cost of billing for an entry and the table service. */
package org.guavagw.cli.bench.billing;
