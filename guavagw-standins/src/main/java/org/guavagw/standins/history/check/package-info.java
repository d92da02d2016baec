/** Checkers of histories, one class for each promise; naive on purpose. */
package org.guavagw.standins.history.check;
