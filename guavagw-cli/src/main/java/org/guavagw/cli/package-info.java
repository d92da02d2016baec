/** Daemon, operator client, demo, checker and benches. */
package org.guavagw.cli;
