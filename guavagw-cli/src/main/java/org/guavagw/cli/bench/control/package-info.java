/** Bench of the control plane with many entries in one process, connected over loopback. */
package org.guavagw.cli.bench.control;
