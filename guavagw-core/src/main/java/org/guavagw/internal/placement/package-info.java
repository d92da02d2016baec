/** Chooses a backend server for each attempt; does no I/O. */
package org.guavagw.internal.placement;
