namespace corkward::door {}
