namespace corkward::governor {}
