/**
 * Histories of concurrent runs: what callers, backend servers, bills and entries showed, and when.
 */
package org.guavagw.standins.history;
