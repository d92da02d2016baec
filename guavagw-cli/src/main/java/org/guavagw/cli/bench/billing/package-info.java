/** Measures what billing costs an entry and the table service. */
package org.guavagw.cli.bench.billing;
