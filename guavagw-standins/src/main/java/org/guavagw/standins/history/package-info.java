/** Histories of concurrent runs: timed events of callers, backend servers, bills and entries. */
package org.guavagw.standins.history;
