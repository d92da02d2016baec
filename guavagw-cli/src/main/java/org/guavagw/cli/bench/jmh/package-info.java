/** Measures what decisions cost. */
package org.guavagw.cli.bench.jmh;
