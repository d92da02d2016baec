/** Benches that run decisions in virtual time. */
package org.guavagw.cli.bench;
