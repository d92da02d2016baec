/** JMH bench of the cost of decisions. */
package org.guavagw.cli.bench.jmh;
